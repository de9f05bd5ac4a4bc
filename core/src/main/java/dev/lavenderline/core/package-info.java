/** Decision core of lavenderline: state machines without I/O or threads. */
package dev.lavenderline.core;
