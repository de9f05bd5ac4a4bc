package dev.lavenderline.log;

/**
 * Reason why a call to the host list or the weight store failed.
 *
 * @param message request and cause of the failure
 */
public record PlatformError(String message) {}
