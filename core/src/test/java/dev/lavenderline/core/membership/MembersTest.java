package dev.lavenderline.core.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.membership.Member.Status;
import dev.lavenderline.proto.peer.Heartbeat;
import dev.lavenderline.proto.peer.Hello;
import dev.lavenderline.proto.peer.MemberView;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class MembersTest {
    private long nanos = -Duration.ofDays(3).toNanos();
    private final Ticker ticker = new Ticker() {
        @Override
        public Instant now() {
            return Instant.EPOCH;
        }

        @Override
        public long nanos() {
            return nanos;
        }
    };
    private final Members members = new Members(ticker, hello("self", "s1"));

    private static Hello hello(String node, String incarnation) {
        return Hello.newBuilder()
                .setNode(node)
                .setIncarnation(incarnation)
                .setAddress(node + ":7070")
                .setRegion("muscat")
                .build();
    }

    private static Heartbeat heartbeat(MemberView... views) {
        return Heartbeat.newBuilder().addAllMembers(List.of(views)).build();
    }

    private static MemberView view(String node, String incarnation, int ageMs) {
        return MemberView.newBuilder()
                .setNode(node)
                .setIncarnation(incarnation)
                .setAddress(node + ":7070")
                .setAgeMs(ageMs)
                .build();
    }

    private void advance(long millis) {
        nanos += Duration.ofMillis(millis).toNanos();
    }

    private Status status(String incarnation) {
        return members.member(incarnation).orElseThrow().status();
    }

    private List<String> live() {
        return members.live().stream().map(Member::node).toList();
    }

    /** Guards against a takeover that starts too early or never, and against new work for a failed node. */
    @Test
    void silentNeighbourBecomesSuspectThenGone() {
        members.applyHeartbeat(hello("b", "b1"), heartbeat());
        advance(1_499);
        assertEquals(Status.LIVE, status("b1"));
        advance(1);
        assertEquals(Status.SUSPECT, status("b1"));
        assertEquals(List.of("b", "self"), live());
        assertEquals(Duration.ZERO, members.unreachableFor("b1"));
        advance(1_500);
        assertEquals(Status.GONE, status("b1"));
        assertFalse(members.isLive("b1"));
        assertEquals(List.of("self"), live());
        advance(1_000);
        assertEquals(Duration.ofSeconds(4), members.unreachableFor("b1"));
        members.applyHeartbeat(hello("b", "b1"), heartbeat());
        assertEquals(
                List.of("b", "self"),
                members.inRegion("muscat").stream().map(Member::node).toList());
        assertEquals(List.of(), members.inRegion("sohar"));
    }

    /** Guards against a takeover because of one broken link while another node still hears from the member. */
    @Test
    void viewsOfOthersKeepAMemberLive() {
        members.applyHeartbeat(hello("b", "b1"), heartbeat());
        advance(2_900);
        members.applyHeartbeat(hello("c", "c1"), heartbeat(view("b", "b1", 400)));
        advance(1_000);
        assertEquals(Status.LIVE, status("b1"));
        advance(1_700);
        assertEquals(Status.GONE, status("b1"));
    }

    /** Guards against a restarted node that counts twice, or whose former incarnation is restored by a stale view. */
    @Test
    void restartReplacesTheFormerIncarnation() {
        members.applyHeartbeat(hello("b", "b1"), heartbeat());
        advance(500);
        members.applyHeartbeat(hello("b", "b2"), heartbeat());
        members.applyHeartbeat(hello("c", "c1"), heartbeat(view("b", "b1", 0)));
        members.applyHeartbeat(hello("b", "b1"), heartbeat());
        assertTrue(members.isLive("b2"));
        assertFalse(members.isLive("b1"));
        assertEquals(Duration.ofMillis(500), members.unreachableFor("b1"));
        members.applyHeartbeat(hello("c", "c1"), heartbeat(view("b", "b0", 100)));
        assertTrue(members.isLive("b2"), "an unknown incarnation with an older contact is an earlier one");
        advance(1_000);
        members.applyHeartbeat(hello("c", "c1"), heartbeat(view("b", "b3", 100)));
        assertTrue(members.isLive("b3"));
    }

    /** Guards against new work for a draining node, and against stale views that revive it after it is gone. */
    @Test
    void staleViewsDoNotMakeADrainedMemberLive() {
        members.applyHeartbeat(hello("b", "b1"), heartbeat());
        members.markDraining("b1");
        assertEquals(List.of("self"), live());
        assertTrue(members.isLive("b1"), "a draining node still finishes its work");
        members.applyHeartbeat(hello("c", "c1"), heartbeat(view("b", "b1", 0)));
        assertEquals(List.of("c", "self"), live());
        advance(3_000);
        members.applyHeartbeat(hello("c", "c1"), heartbeat(view("b", "b1", 10)));
        assertFalse(members.isLive("b1"));
    }

    /** Guards against new work for a host that is being removed, and against loss of a host not listed yet. */
    @Test
    void leavingHostsGetNoWorkAndUnlistedOnesStayLive() {
        members.applyHeartbeat(hello("b", "b1"), heartbeat());
        members.applyHeartbeat(hello("c", "c1"), heartbeat());
        members.updateHosts(List.of("self:7070"), List.of("c:7070"));
        assertEquals(List.of("b", "self"), live());
        assertTrue(members.isLive("c1"));
        members.updateSelf(true, 7);
        assertEquals(List.of("b"), live());
        assertEquals(7, members.member("s1").orElseThrow().configRevision());
    }

    /** Guards against a job that is never taken over because its holder is an incarnation unknown to this node. */
    @Test
    void unknownIncarnationIsUnreachableSinceTheStart() {
        advance(4_000);
        assertEquals(Duration.ofSeconds(4), members.unreachableFor("unknown"));
    }

    /** Guards against one-sided heartbeats, unconnected nodes, and a number of links that grows with the cluster. */
    @Test
    void neighboursAreSymmetricFewAndConnected() {
        List<String> hosts =
                IntStream.range(0, 530).mapToObj(i -> "n" + i + ":7070").toList();
        Map<String, Set<String>> links = new HashMap<>();
        for (int i = 0; i < hosts.size(); i++) {
            Members node = new Members(ticker, hello("n" + i, "i" + i));
            node.updateHosts(hosts, List.of());
            links.put(hosts.get(i), node.neighbours(Members.MAX_NEIGHBOURS));
        }
        links.forEach((address, neighbours) -> {
            assertTrue(neighbours.size() <= Members.MAX_NEIGHBOURS, neighbours::toString);
            assertFalse(neighbours.contains(address));
            neighbours.forEach(other -> assertTrue(links.get(other).contains(address), address + " and " + other));
        });
        Set<String> reached = new HashSet<>(Set.of(hosts.get(0)));
        for (int hop = 0; hop < 6; hop++) {
            List.copyOf(reached).forEach(address -> reached.addAll(links.get(address)));
        }
        assertEquals(530, reached.size(), "nodes within six hops");
    }

    /** Guards against heartbeats that grow with the cluster, and against members that are never reported. */
    @Test
    void viewsAreBoundedAndCoverAllMembersInRotation() {
        for (int i = 0; i < 40; i++) {
            members.applyHeartbeat(hello("n" + i, "i" + i), heartbeat());
        }
        Set<String> seen = new HashSet<>();
        for (int i = 0; i < 40; i++) {
            List<MemberView> views = members.nextViews(2);
            assertEquals(2, views.size());
            views.forEach(view -> seen.add(view.getNode()));
        }
        assertEquals(40, seen.size());
    }

    /** Guards against distant members that become gone between two views, and against undetected failures. */
    @Test
    void distantMemberIsGoneWhenReportedOrSilent() {
        List<String> hosts = new ArrayList<>(List.of("self:7070"));
        IntStream.range(0, 100).forEach(i -> hosts.add("n" + i + ":7070"));
        members.updateHosts(hosts, List.of());
        int distant = IntStream.range(0, 100)
                .filter(i -> !members.neighbours(Members.MAX_NEIGHBOURS).contains("n" + i + ":7070"))
                .findFirst()
                .orElseThrow();
        String incarnation = "i" + distant;
        members.applyHeartbeat(hello("c", "c1"), heartbeat(view("n" + distant, incarnation, 100)));
        advance(10_000);
        assertTrue(members.isLive(incarnation));
        members.applyHeartbeat(hello("c", "c1"), heartbeat(view("n" + distant, incarnation, 20_000)));
        assertTrue(members.isLive(incarnation), "the report is older than the last contact");
        members.applyHeartbeat(hello("c", "c1"), heartbeat(view("n" + distant, incarnation, 10_200)));
        assertFalse(members.isLive(incarnation));
        members.applyHeartbeat(hello("c", "c1"), heartbeat(view("n" + distant, incarnation, 50)));
        assertTrue(members.isLive(incarnation));
        advance(30_000);
        assertFalse(members.isLive(incarnation));
    }
}
