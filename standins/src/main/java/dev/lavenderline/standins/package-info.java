/** Stand-ins for the platform's services, for tests and the quickstart; all state is kept in memory. */
package dev.lavenderline.standins;
