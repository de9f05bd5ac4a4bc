/** The HTTP server for callers and the HTTP client for upstreams. */
package dev.lavenderline.http;
