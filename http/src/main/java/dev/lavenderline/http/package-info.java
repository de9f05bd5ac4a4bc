/** HTTP towards callers and upstreams. */
package dev.lavenderline.http;
