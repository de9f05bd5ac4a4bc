/** Stand-in of the platform's weight store. */
package dev.lavenderline.standins.weights;
