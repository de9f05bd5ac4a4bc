/** Core decision logic of lavenderline: state machines that do no I/O and start no threads. */
package dev.lavenderline.core;
