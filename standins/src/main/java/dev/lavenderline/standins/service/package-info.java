/** Stand-in for a plain service that runs alongside engines. */
package dev.lavenderline.standins.service;
