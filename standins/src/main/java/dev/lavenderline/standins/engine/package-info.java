/** Stand-in for an inference engine: service model, HTTP protocol, faults and history. */
package dev.lavenderline.standins.engine;
