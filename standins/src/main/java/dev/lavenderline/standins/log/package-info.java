/** Stand-in for the platform's append-only log. */
package dev.lavenderline.standins.log;
