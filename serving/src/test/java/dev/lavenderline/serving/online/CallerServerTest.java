package dev.lavenderline.serving.online;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.http.HttpServerOptions;
import org.junit.jupiter.api.Test;

class CallerServerTest {
    /**
     * Review case 10: guards against connections that are closed while a request is served, after a time without bytes
     * that is shorter than the route's. ConnectionGuardTest shows that the guard closes idle connections, and no others.
     */
    @Test
    void serverClosesNoConnectionForAbsenceOfBytes() {
        HttpServerOptions options = CallerServer.serverOptions();
        assertEquals(0, options.getIdleTimeout());
        assertEquals(0, options.getReadIdleTimeout());
        assertEquals(0, options.getWriteIdleTimeout());
    }
}
