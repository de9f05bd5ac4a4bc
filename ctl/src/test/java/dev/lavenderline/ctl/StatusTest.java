package dev.lavenderline.ctl;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against a wait that ends while a live node has an older revision, or never ends if a host is dead. */
class StatusTest {
    @Test
    void waitEndsWhenTheLastNodeHasTheRevision() throws Exception {
        try (FakeNode first = new FakeNode().state(true, 7);
                FakeNode second = new FakeNode().state(true, 6)) {
            CompletableFuture<Run> run =
                    CompletableFuture.supplyAsync(() -> status("20s", "7", first.address(), second.address()));
            TimeUnit.MILLISECONDS.sleep(900);
            boolean early = run.isDone();
            second.state(true, 8);

            assertEquals(0, run.get(15, TimeUnit.SECONDS).exitCode());
            assertTrue(!early, "ended although a node had an older revision");
        }
    }

    @Test
    void waitEndsAfterTheTimeout() throws IOException {
        try (FakeNode node = new FakeNode().state(true, 6)) {
            assertEquals(1, status("500ms", "7", node.address()).exitCode());
        }
    }

    @Test
    void waitSkipsNodesThatAreNotRunning() throws IOException {
        try (FakeNode node = new FakeNode().state(false, 7)) {
            Run run = status("5s", "7", node.address(), unusedAddress());

            assertEquals(0, run.exitCode());
            assertTrue(run.out().contains("not running"), run.out());
        }
    }

    @Test
    void waitIncludesNodesThatDoNotRespond() throws IOException {
        try (FakeNode node = new FakeNode().state(true, 7);
                ServerSocket silent = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
            Run run = status("1s", "7", node.address(), "127.0.0.1:" + silent.getLocalPort());

            assertEquals(1, run.exitCode());
            assertTrue(run.out().contains("no answer"), run.out());
        }
    }

    @Test
    void malformedDumpIsAnError() throws IOException {
        try (FakeNode node = new FakeNode().state("{\"config\":{\"revision\":\"new\"}}")) {
            assertEquals(1, status("500ms", "1", node.address()).exitCode());
        }
    }

    @Test
    void noRunningNodeIsUnavailable() throws IOException {
        assertEquals(69, Run.of("status", "--nodes", unusedAddress()).exitCode());
        assertEquals(1, status("500ms", "0", unusedAddress()).exitCode());
        assertEquals(69, Run.of("dump", unusedAddress()).exitCode());
        assertEquals(69, Run.of("drain", unusedAddress()).exitCode());
    }

    @Test
    void drainIsSentOnce() throws IOException {
        try (FakeNode node = new FakeNode()) {
            assertEquals(0, Run.of("drain", node.address()).exitCode());
            assertEquals(1, node.drainRequests());
        }
    }

    private static Run status(String timeout, String revision, String... nodes) {
        return Run.of("status", "--nodes", String.join(",", nodes), "--wait", revision, "--timeout", timeout);
    }

    private static String unusedAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }
}
