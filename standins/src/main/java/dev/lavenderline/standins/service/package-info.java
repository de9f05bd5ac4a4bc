/** Stand-in for a small HTTP service that runs alongside the engines. */
package dev.lavenderline.standins.service;
