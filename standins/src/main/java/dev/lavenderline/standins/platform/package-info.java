/** Engines and clients of the platform's protocol over blocking sockets, and the history of what they saw. */
package dev.lavenderline.standins.platform;
