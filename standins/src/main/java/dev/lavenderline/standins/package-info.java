/** Stand-ins of the platform's services for tests and the quickstart; they keep everything in memory. */
package dev.lavenderline.standins;
