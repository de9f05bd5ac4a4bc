/** Admission of batch items: slot grants by the controller of an engine, and scheduling by job owners. */
package dev.lavenderline.core.admission;
