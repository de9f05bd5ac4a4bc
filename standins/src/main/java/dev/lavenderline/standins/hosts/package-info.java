/** Stand-in of the platform's host list. */
package dev.lavenderline.standins.hosts;
