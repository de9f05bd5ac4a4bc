/** Second copies of the responses of a stand-in. */
package dev.lavenderline.standins.stutter;
