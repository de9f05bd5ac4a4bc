/** Checks that the head, the body and the trailers of an HTTP response belong to one response. */
package dev.lavenderline.core.response;
