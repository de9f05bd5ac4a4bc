/** Stand-in for an inference engine: timing model, HTTP API, injected faults and request history. */
package dev.lavenderline.standins.engine;
