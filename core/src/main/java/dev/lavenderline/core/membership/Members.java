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
 * The members of the cluster, merged from the host list, heartbeats, the member views in them, and leaving notices.
 *
 * <p>Liveness affects load distribution and takeover, never ownership. A neighbour becomes suspect when it has not been
 * heard from for 1.5 s and gone after 3 s. Other members become gone when a view reports it, or after 30 s: the number
 * of views in a heartbeat is limited, so a member is refreshed less often in a large cluster.
 *
 * <p>The ages in views do not include the transit time; comparisons of views with local state allow for that. Not
 * thread-safe; confined to the node's event loop.
 *
 * <pre>{@code
 * Members members = new Members(ticker, self);
 * members.updateHosts(liveAddresses, leavingAddresses);
 * mesh.setTargetAddresses(members.neighbours(Members.MAX_NEIGHBOURS));
 * members.applyHeartbeat(hello, heartbeat);
 * List<String> order = Rendezvous.order(jobId, members.live().stream().map(Member::incarnation).toList());
 * }</pre>
 */
public final class Members {
    /** Largest number of nodes with which a node exchanges heartbeats. */
    public static final int MAX_NEIGHBOURS = 10;

    static final Duration SUSPECT_AFTER = Duration.ofMillis(1_500);
    static final Duration GONE_AFTER = Duration.ofSeconds(3);
    static final Duration INDIRECTLY_GONE_AFTER = Duration.ofSeconds(30);
    // A report that a member is gone is ignored if it is older than this node's last contact with the member by more
    // than this. One second covers the transit time and the heartbeat interval.
    private static final Duration GONE_REPORT_TOLERANCE = Duration.ofSeconds(1);
    // How long a change of a member has priority in the views of heartbeats.
    private static final Duration RECENT_CHANGE = Duration.ofSeconds(5);
    // How long ended incarnations and unlisted members are kept after they were last heard from.
    private static final Duration RETENTION = Duration.ofMinutes(10);

    private final Ticker ticker;
    private final long startedAt;
    private final MemberEntry self;
    private final Map<String, MemberEntry> byNode = new TreeMap<>();
    // Replaced incarnations and when they were last heard from; heartbeats and views of them are ignored.
    private final Map<String, Long> endedIncarnations = new HashMap<>();
    private Set<String> listedAddresses = Set.of();
    private Set<String> leavingAddresses = Set.of();
    private Set<String> monitoredAddresses = Set.of();
    private int viewRotation;

    /** Creates a membership that contains only this node. */
    public Members(Ticker ticker, Hello self) {
        this.ticker = ticker;
        this.startedAt = ticker.nanos();
        this.self = new MemberEntry(self.getNode(), self.getIncarnation(), startedAt);
        this.self.updateLocation(self.getAddress(), self.getRegion(), self.getFailureDomain());
        this.viewRotation = Math.floorMod(self.getIncarnation().hashCode(), 1 << 16);
        byNode.put(self.getNode(), this.self);
    }

    /** Replaces the addresses from the host list. A host missing from the list is not gone, because the list lags. */
    public void updateHosts(Collection<String> live, Collection<String> leaving) {
        leavingAddresses = Set.copyOf(leaving);
        TreeSet<String> all = new TreeSet<>(live);
        all.addAll(leaving);
        listedAddresses = all;
        long now = ticker.nanos();
        endedIncarnations.values().removeIf(last -> now - last > RETENTION.toNanos());
        byNode.values()
                .removeIf(entry -> entry != self
                        && !listedAddresses.contains(entry.address)
                        && now - entry.lastHeard > RETENTION.toNanos());
        monitoredAddresses = neighbours(MAX_NEIGHBOURS);
    }

    /** Updates the state that this node reports about itself; neither argument can revert an earlier update. */
    public void updateSelf(boolean draining, long configRevision) {
        self.draining |= draining;
        self.configRevision = Math.max(self.configRevision, configRevision);
    }

    /** Applies a heartbeat and the views in it. */
    public void applyHeartbeat(Hello from, Heartbeat heartbeat) {
        if (from.getNode().equals(self.node)) {
            return;
        }
        long now = ticker.nanos();
        MemberEntry entry = byNode.get(from.getNode());
        if (entry == null || !entry.incarnation.equals(from.getIncarnation())) {
            if (endedIncarnations.containsKey(from.getIncarnation())) {
                // A late heartbeat of a replaced incarnation.
                return;
            }
            entry = replace(entry, new MemberEntry(from.getNode(), from.getIncarnation(), now));
        }
        entry.updateLocation(from.getAddress(), from.getRegion(), from.getFailureDomain());
        entry.recordContact(now, now);
        entry.update(heartbeat.getDraining(), heartbeat.getConfigRevision(), now);
        for (MemberView view : heartbeat.getMembersList()) {
            applyView(view, now);
        }
        updateMonitoredAddresses(entry);
    }

    /** Applies a leaving notice: marks the incarnation as draining, immediately and permanently. */
    public void markDraining(String incarnation) {
        find(incarnation).ifPresent(entry -> entry.update(true, 0, ticker.nanos()));
    }

    /**
     * Returns views of up to {@code max} other members for the next heartbeat, recently changed ones first and the rest
     * in rotation, so that the size of a heartbeat does not depend on the number of nodes.
     */
    public List<MemberView> nextViews(int max) {
        long now = ticker.nanos();
        List<MemberEntry> recentlyChanged = new ArrayList<>();
        List<MemberEntry> unchanged = new ArrayList<>();
        for (MemberEntry entry : byNode.values()) {
            Status status = status(entry, now);
            long silence = now - entry.lastHeard;
            boolean isFresh = status != Status.GONE && silence < GONE_AFTER.toNanos();
            boolean isNewlyGone = status == Status.GONE && silence < INDIRECTLY_GONE_AFTER.toNanos();
            if (entry == self || !(isFresh || isNewlyGone)) {
                continue;
            }
            (isNewlyGone || now - entry.changedAt < RECENT_CHANGE.toNanos() ? recentlyChanged : unchanged).add(entry);
        }
        List<MemberView> views = new ArrayList<>();
        // Half of the views are reserved for unchanged members, so that a burst of changes does not delay their refresh
        // for long.
        int reserved = Math.min(unchanged.size(), max / 2);
        addInTurn(views, recentlyChanged, max - reserved, now);
        addInTurn(views, unchanged, max - views.size(), now);
        viewRotation++;
        return views;
    }

    /** Returns all members, including this node, sorted by name. */
    public List<Member> all() {
        long now = ticker.nanos();
        return byNode.values().stream().map(entry -> member(entry, now)).toList();
    }

    /** Returns the members that can get new work: neither gone nor draining. Includes this node unless draining. */
    public List<Member> live() {
        return all().stream()
                .filter(member -> member.status() != Status.GONE && !member.draining())
                .toList();
    }

    /** Returns the members of {@link #live()} in a region. */
    public List<Member> inRegion(String region) {
        return live().stream().filter(member -> member.region().equals(region)).toList();
    }

    /** Returns the member whose current incarnation is given. */
    public Optional<Member> member(String incarnation) {
        long now = ticker.nanos();
        return find(incarnation).map(entry -> member(entry, now));
    }

    /** Returns whether an incarnation is known and not gone; a draining node is still live. */
    public boolean isLive(String incarnation) {
        long now = ticker.nanos();
        return find(incarnation).map(entry -> status(entry, now) != Status.GONE).orElse(false);
    }

    /**
     * Returns the time since an incarnation was last heard from, zero while it is live. For an unknown incarnation,
     * returns the time since the creation of this object.
     */
    public Duration unreachableFor(String incarnation) {
        if (isLive(incarnation)) {
            return Duration.ZERO;
        }
        long last = find(incarnation)
                .map(entry -> entry.lastHeard)
                .orElseGet(() -> endedIncarnations.getOrDefault(incarnation, startedAt));
        return Duration.ofNanos(ticker.nanos() - last);
    }

    /**
     * Returns the addresses of the nodes to exchange heartbeats with: all other nodes if there are at most {@code max},
     * otherwise the neighbours on {@code max / 2} hash rings with different seeds. This relation is symmetric and keeps
     * the number of hops between any two nodes small.
     */
    public Set<String> neighbours(int max) {
        TreeSet<String> others = new TreeSet<>(listedAddresses);
        long now = ticker.nanos();
        byNode.values().stream()
                .filter(entry -> status(entry, now) != Status.GONE)
                .forEach(entry -> others.add(entry.address));
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

    /** Returns candidates in order of preference for a key; see {@link Rendezvous#order}. */
    public static List<String> rendezvous(String key, Collection<String> candidates) {
        return Rendezvous.order(key, candidates);
    }

    private void applyView(MemberView view, long now) {
        if (view.getNode().equals(self.node) || endedIncarnations.containsKey(view.getIncarnation())) {
            return;
        }
        long silence =
                Duration.ofMillis(Integer.toUnsignedLong(view.getAgeMs())).toNanos();
        long heardAt = now - silence;
        boolean isReportedGone = silence >= GONE_AFTER.toNanos();
        MemberEntry entry = byNode.get(view.getNode());
        if (entry == null || !entry.incarnation.equals(view.getIncarnation())) {
            // The other incarnation is newer only if it was heard from later.
            if (isReportedGone || (entry != null && heardAt <= entry.lastHeard)) {
                return;
            }
            entry = replace(entry, new MemberEntry(view.getNode(), view.getIncarnation(), now));
            entry.lastHeard = heardAt;
            entry.updateLocation(view.getAddress(), view.getRegion(), view.getFailureDomain());
        }
        entry.update(view.getDraining(), view.getConfigRevision(), now);
        if (isReportedGone) {
            entry.isReportedGone |= heardAt >= entry.lastHeard - GONE_REPORT_TOLERANCE.toNanos();
        } else if (!entry.draining || status(entry, now) != Status.GONE) {
            entry.recordContact(heardAt, now);
        }
        updateMonitoredAddresses(entry);
    }

    private MemberEntry replace(MemberEntry old, MemberEntry next) {
        if (old != null) {
            endedIncarnations.put(old.incarnation, old.lastHeard);
        }
        byNode.put(next.node, next);
        return next;
    }

    private void updateMonitoredAddresses(MemberEntry entry) {
        if (!entry.isAddressApplied) {
            entry.isAddressApplied = true;
            monitoredAddresses = neighbours(MAX_NEIGHBOURS);
        }
    }

    private Optional<MemberEntry> find(String incarnation) {
        return byNode.values().stream()
                .filter(entry -> entry.incarnation.equals(incarnation))
                .findFirst();
    }

    private Status status(MemberEntry entry, long now) {
        long silence = now - entry.lastHeard;
        if (entry == self) {
            return Status.LIVE;
        }
        if (!monitoredAddresses.contains(entry.address)) {
            boolean isGone = entry.isReportedGone || silence >= INDIRECTLY_GONE_AFTER.toNanos();
            return isGone ? Status.GONE : Status.LIVE;
        }
        if (silence >= GONE_AFTER.toNanos()) {
            return Status.GONE;
        }
        return silence >= SUSPECT_AFTER.toNanos() ? Status.SUSPECT : Status.LIVE;
    }

    private Member member(MemberEntry entry, long now) {
        return new Member(
                entry.node,
                entry.incarnation,
                entry.address,
                entry.region,
                entry.failureDomain,
                entry.draining || leavingAddresses.contains(entry.address),
                entry.configRevision,
                entry == self ? now : entry.lastHeard,
                status(entry, now));
    }

    private void addInTurn(List<MemberView> views, List<MemberEntry> candidates, int count, long now) {
        candidates.sort(Comparator.comparing(entry -> entry.node));
        for (int i = 0; i < Math.min(count, candidates.size()); i++) {
            MemberEntry entry = candidates.get(Math.floorMod(viewRotation * count + i, candidates.size()));
            views.add(MemberView.newBuilder()
                    .setNode(entry.node)
                    .setIncarnation(entry.incarnation)
                    .setAddress(entry.address)
                    .setRegion(entry.region)
                    .setFailureDomain(entry.failureDomain)
                    .setDraining(entry.draining)
                    .setAgeMs((int) Duration.ofNanos(now - entry.lastHeard).toMillis())
                    .setConfigRevision(entry.configRevision)
                    .build());
        }
    }

    private static final class MemberEntry {
        final String node;
        final String incarnation;
        String address = "";
        String region = "";
        String failureDomain = "";
        boolean draining;
        long configRevision;
        long lastHeard;
        long changedAt;
        boolean isReportedGone;
        // Whether monitoredAddresses has been computed since the last change of the address.
        boolean isAddressApplied;

        MemberEntry(String node, String incarnation, long now) {
            this.node = node;
            this.incarnation = incarnation;
            this.lastHeard = now;
            this.changedAt = now;
        }

        void updateLocation(String newAddress, String newRegion, String newFailureDomain) {
            isAddressApplied &= address.equals(newAddress);
            address = newAddress;
            region = newRegion;
            failureDomain = newFailureDomain;
        }

        void recordContact(long heardAt, long now) {
            if (heardAt <= lastHeard) {
                return;
            }
            lastHeard = heardAt;
            if (isReportedGone) {
                isReportedGone = false;
                changedAt = now;
            }
        }

        /** Within one incarnation, draining is never revoked and the revision never decreases. */
        void update(boolean newDraining, long newRevision, long now) {
            if (newDraining && !draining) {
                draining = true;
                changedAt = now;
            }
            configRevision = Math.max(configRevision, newRevision);
        }
    }
}
