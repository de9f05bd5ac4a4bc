/** Selection of upstreams for online requests: limits, queue, retry budget, outlier detection. */
package dev.lavenderline.core.routing;
