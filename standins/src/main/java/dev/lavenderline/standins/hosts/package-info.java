/** Stand-in for the platform's host list. */
package dev.lavenderline.standins.hosts;
