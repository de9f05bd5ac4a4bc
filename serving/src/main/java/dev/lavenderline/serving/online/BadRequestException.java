package dev.lavenderline.serving.online;

/** A request that can't be read; the message tells the caller what is wrong with which value. */
public final class BadRequestException extends RuntimeException {
    private static final long serialVersionUID = 1;

    public BadRequestException(String message) {
        super(message, null, false, false);
    }
}
