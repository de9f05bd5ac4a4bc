/** Stand-in for the platform's weight store. */
package dev.lavenderline.standins.weights;
