package dev.lavenderline.serving.slots;

import dev.lavenderline.proto.slots.Hello;
import dev.lavenderline.proto.slots.LimitedWorkspaces;
import dev.lavenderline.proto.slots.QuotaDecision;
import dev.lavenderline.proto.slots.QuotaReport;
import dev.lavenderline.proto.slots.QuotaRequest;
import dev.lavenderline.proto.slots.Rejected;
import dev.lavenderline.proto.slots.SlotFrame;
import dev.lavenderline.proto.slots.WorkspaceAdmissions;
import dev.lavenderline.proto.slots.WorkspaceUsage;
import dev.lavenderline.serving.workspaces.QuotaLedger;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Frames of the slot protocol that concern the quotas of workspaces. Stateless and thread-safe. */
final class QuotaFrames {
    private QuotaFrames() {}

    static List<WorkspaceUsage> usage(Map<String, List<Integer>> admissions) {
        return admissions.entrySet().stream()
                .map(entry -> WorkspaceUsage.newBuilder()
                        .setWorkspace(entry.getKey())
                        .addAllAdmitted(entry.getValue())
                        .build())
                .toList();
    }

    static Map<String, List<Integer>> usage(Hello hello) {
        Map<String, List<Integer>> usage = new HashMap<>();
        hello.getUsageList().forEach(entry -> usage.put(entry.getWorkspace(), entry.getAdmittedList()));
        return usage;
    }

    static Buffer report(Map<String, Integer> admissions) {
        QuotaReport.Builder report = QuotaReport.newBuilder();
        admissions.forEach((workspace, admitted) -> report.addAdmissions(
                WorkspaceAdmissions.newBuilder().setWorkspace(workspace).setAdmitted(admitted)));
        return SlotFrames.frame(SlotFrame.newBuilder().setQuotaReport(report));
    }

    static Map<String, Integer> admissions(QuotaReport report) {
        Map<String, Integer> admissions = new HashMap<>();
        report.getAdmissionsList()
                .forEach(entry -> admissions.merge(entry.getWorkspace(), entry.getAdmitted(), Integer::sum));
        return admissions;
    }

    static Buffer request(long id, String workspace) {
        return SlotFrames.frame(SlotFrame.newBuilder()
                .setQuotaRequest(QuotaRequest.newBuilder().setId(id).setWorkspace(workspace)));
    }

    static Buffer decision(long id, QuotaLedger.Decision decision) {
        return SlotFrames.frame(SlotFrame.newBuilder()
                .setQuotaDecision(QuotaDecision.newBuilder()
                        .setId(id)
                        .setAdmitted(decision.outcome() == QuotaLedger.Outcome.ADMITTED)
                        .setRetryAfterMs((int) decision.retryAfter().toMillis())));
    }

    static Buffer limited(Collection<String> workspaces) {
        return SlotFrames.frame(SlotFrame.newBuilder()
                .setLimitedWorkspaces(LimitedWorkspaces.newBuilder().addAllWorkspaces(workspaces)));
    }

    static Buffer overQuota(long lease, Duration retryAfter) {
        return SlotFrames.frame(SlotFrame.newBuilder()
                .setRejected(Rejected.newBuilder()
                        .setLease(lease)
                        .setRetryAfterMs((int) retryAfter.toMillis())
                        .setOverQuota(true)));
    }
}
