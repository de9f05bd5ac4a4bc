/** Stand-in of the platform's append-only log. */
package dev.lavenderline.standins.log;
