/** TCP connections between nodes: framing, heartbeats, replacement of unresponsive connections. */
package dev.lavenderline.peer;
