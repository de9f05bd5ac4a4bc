/** Placeholder. */
package dev.lavenderline.peer;
