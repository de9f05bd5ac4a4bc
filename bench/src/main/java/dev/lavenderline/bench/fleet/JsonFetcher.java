package dev.lavenderline.bench.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Fetches JSON documents from stand-ins over HTTP.
 *
 * <p>The timeout covers the body too, whereas the timeout of an {@link HttpRequest} covers only the headers. A fetch
 * that times out is retried once on a new connection.
 *
 * <p>Stateless and thread-safe.
 */
final class JsonFetcher {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_ATTEMPTS = 2;

    private JsonFetcher() {}

    /**
     * Returns the document at a URL.
     *
     * @throws UncheckedIOException if the document cannot be read or is not JSON; the message names the URL
     */
    static JsonNode get(String url, Duration timeout) {
        Throwable last = null;
        for (int attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
            try {
                String body = HttpClient.newBuilder()
                        .connectTimeout(timeout)
                        .build()
                        .sendAsync(
                                HttpRequest.newBuilder(URI.create(url)).build(), HttpResponse.BodyHandlers.ofString())
                        .orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
                        .join()
                        .body();
                return JSON.readTree(body);
            } catch (CompletionException e) {
                last = e.getCause();
                if (!(last instanceof TimeoutException)) {
                    break;
                }
                System.err.println("no complete response from " + url + " within " + timeout + ", attempt " + attempt
                        + " of " + MAX_ATTEMPTS);
            } catch (IOException e) {
                throw new UncheckedIOException("response from " + url + " is not JSON", e);
            }
        }
        throw new UncheckedIOException("cannot read " + url, new IOException(last));
    }
}
