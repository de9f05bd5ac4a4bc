/** Connections between nodes: framing, heartbeats, replacement of silent connections. */
package dev.lavenderline.peer;
