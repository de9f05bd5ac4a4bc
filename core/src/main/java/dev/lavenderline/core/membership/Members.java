package dev.lavenderline.core.membership;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.membership.Member.Status;
import dev.lavenderline.proto.peer.Heartbeat;
import dev.lavenderline.proto.peer.Hello;
import dev.lavenderline.proto.peer.MemberView;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The nodes of the cluster, merged from the host list, heartbeats, the member views in them, and leaving notices.
 *
 * <p>Liveness influences load distribution and takeover, never ownership. A neighbour is suspected after 1.5 s without
 * news and gone after 3 s. Other members are gone when a neighbour of theirs reports it, or after 30 s without news,
 * because the views that fit into a heartbeat refresh a member less often when there are many.
 *
 * <p>Ages in views exclude the transit time; all comparisons of views with own knowledge allow for that. Not
 * thread-safe; confined to the node's event loop.
 *
 * <pre>{@code
 * Members members = new Members(ticker, self);
 * members.hosts(liveAddresses, leavingAddresses);
 * mesh.connect(members.neighbours(Members.MAX_NEIGHBOURS));
 * members.heartbeat(hello, heartbeat);
 * List<String> order = Rendezvous.order(jobId, members.live().stream().map(Member::incarnation).toList());
 * }</pre>
 */
public final class Members {
    /** Largest number of nodes with which a node exchanges heartbeats. */
    public static final int MAX_NEIGHBOURS = 10;

    static final Duration SUSPECT_AFTER = Duration.ofMillis(1_500);
    static final Duration GONE_AFTER = Duration.ofSeconds(3);
    static final Duration INDIRECTLY_GONE_AFTER = Duration.ofSeconds(30);
    // A report that a member is gone is believed unless there is clearly newer news. One second covers the transit
    // time and the interval of heartbeats.
    private static final Duration REPORT_TOLERANCE = Duration.ofSeconds(1);
    private static final Duration NEWS = Duration.ofSeconds(5);
    private static final Duration MEMORY = Duration.ofMinutes(10);

    private final Ticker ticker;
    private final long started;
    private final Known self;
    private final Map<String, Known> byNode = new TreeMap<>();
    // Incarnations that ended, with the time of the last news; views of them are ignored.
    private final Map<String, Long> ended = new HashMap<>();
    private Set<String> listed = Set.of();
    private Set<String> leavingHosts = Set.of();
    private Set<String> monitored = Set.of();
    private int nextView;

    /** Creates the membership of a node that knows only itself. */
    public Members(Ticker ticker, Hello self) {
        this.ticker = ticker;
        this.started = ticker.nanos();
        this.self = new Known(self.getNode(), self.getIncarnation(), started);
        this.self.describe(self.getAddress(), self.getRegion(), self.getFailureDomain());
        this.nextView = Math.floorMod(self.getIncarnation().hashCode(), 1 << 16);
        byNode.put(self.getNode(), this.self);
    }

    /** Takes over the addresses of the host list. A missing host is not gone, because the list lags. */
    public void hosts(Collection<String> live, Collection<String> leaving) {
        leavingHosts = Set.copyOf(leaving);
        TreeSet<String> all = new TreeSet<>(live);
        all.addAll(leaving);
        listed = all;
        long now = ticker.nanos();
        ended.values().removeIf(last -> now - last > MEMORY.toNanos());
        byNode.values()
                .removeIf(known ->
                        known != self && !listed.contains(known.address) && now - known.lastHeard > MEMORY.toNanos());
        monitored = neighbours(MAX_NEIGHBOURS);
    }

    /** Updates what this node reports of itself. */
    public void update(boolean draining, long configRevision) {
        self.draining |= draining;
        self.configRevision = Math.max(self.configRevision, configRevision);
    }

    /** Takes over a heartbeat and the views in it. */
    public void heartbeat(Hello from, Heartbeat heartbeat) {
        if (from.getNode().equals(self.node)) {
            return;
        }
        long now = ticker.nanos();
        Known known = byNode.get(from.getNode());
        if (known == null || !known.incarnation.equals(from.getIncarnation())) {
            if (ended.containsKey(from.getIncarnation())) {
                // A last message of a run that has been replaced.
                return;
            }
            known = replace(known, new Known(from.getNode(), from.getIncarnation(), now));
        }
        known.describe(from.getAddress(), from.getRegion(), from.getFailureDomain());
        known.heard(now, now);
        known.update(heartbeat.getDraining(), heartbeat.getConfigRevision(), now);
        for (MemberView view : heartbeat.getMembersList()) {
            view(view, now);
        }
        addressesChanged(known);
    }

    /** Takes over a leaving notice; effective at once and for good for this run of the node. */
    public void leaving(String incarnation) {
        find(incarnation).ifPresent(known -> known.update(true, 0, ticker.nanos()));
    }

    /**
     * Returns views of other members for the next heartbeat: recent changes first, the rest in turn, so that the size of
     * a heartbeat does not depend on the number of nodes.
     */
    public List<MemberView> views(int max) {
        long now = ticker.nanos();
        List<Known> news = new ArrayList<>();
        List<Known> rest = new ArrayList<>();
        for (Known known : byNode.values()) {
            Status status = status(known, now);
            long silence = now - known.lastHeard;
            boolean isFresh = status != Status.GONE && silence < GONE_AFTER.toNanos();
            boolean isNewlyGone = status == Status.GONE && silence < INDIRECTLY_GONE_AFTER.toNanos();
            if (known == self || !(isFresh || isNewlyGone)) {
                continue;
            }
            (isNewlyGone || now - known.changed < NEWS.toNanos() ? news : rest).add(known);
        }
        List<MemberView> views = new ArrayList<>();
        // Half of the places are left to members without changes, so that a burst of changes delays no refresh for
        // long.
        int reserved = Math.min(rest.size(), max / 2);
        addInTurn(views, news, max - reserved, now);
        addInTurn(views, rest, max - views.size(), now);
        nextView++;
        return views;
    }

    /** Returns all known members, this node included, by name. */
    public List<Member> all() {
        long now = ticker.nanos();
        return byNode.values().stream().map(known -> member(known, now)).toList();
    }

    /** Returns the members that can get new work: neither gone nor draining. Includes this node unless it drains. */
    public List<Member> live() {
        return all().stream()
                .filter(member -> member.status() != Status.GONE && !member.draining())
                .toList();
    }

    /** Returns the members of {@link #live()} in a region. */
    public List<Member> inRegion(String region) {
        return live().stream().filter(member -> member.region().equals(region)).toList();
    }

    /** Returns the member with an incarnation. */
    public Optional<Member> member(String incarnation) {
        long now = ticker.nanos();
        return find(incarnation).map(known -> member(known, now));
    }

    /** Returns whether a run of a node is not gone; a draining node is still live. */
    public boolean isLive(String incarnation) {
        long now = ticker.nanos();
        return find(incarnation).map(known -> status(known, now) != Status.GONE).orElse(false);
    }

    /**
     * Returns how long ago the last news of a run of a node was, zero while it is live. The time of an unknown run counts
     * from the creation of this object.
     */
    public Duration goneFor(String incarnation) {
        if (isLive(incarnation)) {
            return Duration.ZERO;
        }
        long last = find(incarnation)
                .map(known -> known.lastHeard)
                .orElseGet(() -> ended.getOrDefault(incarnation, started));
        return Duration.ofNanos(ticker.nanos() - last);
    }

    /**
     * Returns the addresses of the nodes to exchange heartbeats with. Up to {@code max} other nodes, these are all of
     * them; above, the neighbours on {@code max / 2} hash rings with different seeds, which is symmetric and keeps the
     * number of hops between any two nodes small.
     */
    public Set<String> neighbours(int max) {
        TreeSet<String> others = new TreeSet<>(listed);
        long now = ticker.nanos();
        byNode.values().stream()
                .filter(known -> status(known, now) != Status.GONE)
                .forEach(known -> others.add(known.address));
        others.remove(self.address);
        if (others.size() <= max) {
            return others;
        }
        Set<String> chosen = new LinkedHashSet<>();
        for (int ring = 0; ring < max / 2; ring++) {
            String key = "ring" + ring;
            TreeMap<Long, String> positions = new TreeMap<>();
            others.forEach(address -> positions.put(Rendezvous.weight(key, address), address));
            long own = Rendezvous.weight(key, self.address);
            chosen.add(Optional.ofNullable(positions.higherEntry(own))
                    .orElse(positions.firstEntry())
                    .getValue());
            chosen.add(Optional.ofNullable(positions.lowerEntry(own))
                    .orElse(positions.lastEntry())
                    .getValue());
        }
        return chosen;
    }

    /** Returns candidates in the order of preference for a key; see {@link Rendezvous#order}. */
    public static List<String> rendezvous(String key, Collection<String> candidates) {
        return Rendezvous.order(key, candidates);
    }

    private void view(MemberView view, long now) {
        if (view.getNode().equals(self.node) || ended.containsKey(view.getIncarnation())) {
            return;
        }
        long silence =
                Duration.ofMillis(Integer.toUnsignedLong(view.getAgeMs())).toNanos();
        long heard = now - silence;
        boolean isReportedGone = silence >= GONE_AFTER.toNanos();
        Known known = byNode.get(view.getNode());
        if (known == null || !known.incarnation.equals(view.getIncarnation())) {
            // The other run is the newer one only if there is later news of it.
            if (isReportedGone || (known != null && heard <= known.lastHeard)) {
                return;
            }
            known = replace(known, new Known(view.getNode(), view.getIncarnation(), now));
            known.lastHeard = heard;
            known.describe(view.getAddress(), view.getRegion(), view.getFailureDomain());
        }
        known.update(view.getDraining(), view.getConfigRevision(), now);
        if (isReportedGone) {
            known.isReportedGone |= heard >= known.lastHeard - REPORT_TOLERANCE.toNanos();
        } else if (!known.draining || status(known, now) != Status.GONE) {
            known.heard(heard, now);
        }
        addressesChanged(known);
    }

    private Known replace(Known old, Known next) {
        if (old != null) {
            ended.put(old.incarnation, old.lastHeard);
        }
        byNode.put(next.node, next);
        return next;
    }

    private void addressesChanged(Known known) {
        if (!known.isPlaced) {
            known.isPlaced = true;
            monitored = neighbours(MAX_NEIGHBOURS);
        }
    }

    private Optional<Known> find(String incarnation) {
        return byNode.values().stream()
                .filter(known -> known.incarnation.equals(incarnation))
                .findFirst();
    }

    private Status status(Known known, long now) {
        long silence = now - known.lastHeard;
        if (known == self) {
            return Status.LIVE;
        }
        if (!monitored.contains(known.address)) {
            boolean isGone = known.isReportedGone || silence >= INDIRECTLY_GONE_AFTER.toNanos();
            return isGone ? Status.GONE : Status.LIVE;
        }
        if (silence >= GONE_AFTER.toNanos()) {
            return Status.GONE;
        }
        return silence >= SUSPECT_AFTER.toNanos() ? Status.SUSPECT : Status.LIVE;
    }

    private Member member(Known known, long now) {
        return new Member(
                known.node,
                known.incarnation,
                known.address,
                known.region,
                known.failureDomain,
                known.draining || leavingHosts.contains(known.address),
                known.configRevision,
                known == self ? now : known.lastHeard,
                status(known, now));
    }

    private void addInTurn(List<MemberView> views, List<Known> candidates, int count, long now) {
        candidates.sort(Comparator.comparing(known -> known.node));
        for (int i = 0; i < Math.min(count, candidates.size()); i++) {
            Known known = candidates.get(Math.floorMod(nextView * count + i, candidates.size()));
            views.add(MemberView.newBuilder()
                    .setNode(known.node)
                    .setIncarnation(known.incarnation)
                    .setAddress(known.address)
                    .setRegion(known.region)
                    .setFailureDomain(known.failureDomain)
                    .setDraining(known.draining)
                    .setAgeMs((int) Duration.ofNanos(now - known.lastHeard).toMillis())
                    .setConfigRevision(known.configRevision)
                    .build());
        }
    }

    private static final class Known {
        final String node;
        final String incarnation;
        String address = "";
        String region = "";
        String failureDomain = "";
        boolean draining;
        long configRevision;
        long lastHeard;
        long changed;
        boolean isReportedGone;
        boolean isPlaced;

        Known(String node, String incarnation, long now) {
            this.node = node;
            this.incarnation = incarnation;
            this.lastHeard = now;
            this.changed = now;
        }

        void describe(String newAddress, String newRegion, String newFailureDomain) {
            isPlaced &= address.equals(newAddress);
            address = newAddress;
            region = newRegion;
            failureDomain = newFailureDomain;
        }

        void heard(long heard, long now) {
            if (heard <= lastHeard) {
                return;
            }
            lastHeard = heard;
            if (isReportedGone) {
                isReportedGone = false;
                changed = now;
            }
        }

        /** Neither a shutdown nor a revision is ever taken back within one run. */
        void update(boolean newDraining, long newRevision, long now) {
            if (newDraining && !draining) {
                draining = true;
                changed = now;
            }
            configRevision = Math.max(configRevision, newRevision);
        }
    }
}
