package dev.lavenderline.log;

/**
 * Why a call to the host list or the weight store failed.
 *
 * @param message what was called and what happened
 */
public record PlatformError(String message) {}
