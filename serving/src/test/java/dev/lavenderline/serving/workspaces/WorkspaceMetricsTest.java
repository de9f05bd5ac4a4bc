package dev.lavenderline.serving.workspaces;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

/** Guards against metrics whose number of time series grows with the number of workspaces. */
class WorkspaceMetricsTest {
    private final WorkspaceMetrics metrics = new WorkspaceMetrics();

    private static Caller caller(String name) {
        return Caller.of(new Workspace(name, OptionalInt.empty(), 0, 0));
    }

    private void assertLine(String line) {
        assertTrue(metrics.text().lines().anyMatch(line::equals), line + " is missing in\n" + metrics.text());
    }

    @Test
    void listsTheWorkspacesWithTheMostRequests() {
        for (int i = 1; i <= WorkspaceMetrics.MAX_LISTED + 20; i++) {
            for (int request = 0; request < i; request++) {
                metrics.request(caller("w" + i));
            }
        }
        assertEquals(
                3 * (WorkspaceMetrics.MAX_LISTED + 1), metrics.text().lines().count());
        assertLine("lavenderline_workspace_requests_total{workspace=\"w21\"} 21");
        assertLine("lavenderline_workspace_requests_total{workspace=\"other\"} 210");
    }

    /** Guards also against a workspace whose name is taken for the sum over the rest, or breaks the format. */
    @Test
    void countsRejectionsByCause() {
        metrics.keyRejected();
        metrics.request(caller("other"));
        metrics.rejected(caller("other"), WorkspaceMetrics.Rejection.QUOTA);
        metrics.rejected(caller("a\"b"), WorkspaceMetrics.Rejection.CAPACITY);
        metrics.rejected(Caller.anonymous(), WorkspaceMetrics.Rejection.CAPACITY);
        assertLine("lavenderline_workspace_rejections_total{cause=\"key\"} 1");
        assertLine("lavenderline_workspace_rejections_total{workspace=\"other\",cause=\"quota\"} 1");
        assertLine("lavenderline_workspace_rejections_total{workspace=\"a\\\"b\",cause=\"capacity\"} 1");
        assertEquals(7, metrics.text().lines().count());
    }
}
