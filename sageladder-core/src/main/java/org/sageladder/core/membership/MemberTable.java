package org.sageladder.core.membership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.platform.ListedVm;
import org.sageladder.core.platform.VmRole;
import org.sageladder.core.time.TimeSource;

/** The members of a zone and their liveness, as observed by the zone's relay. Not thread-safe. */
final class MemberTable {
  private static final int MIN_ABSENT_FETCHES = 2;
  private static final int MIN_ABSENT_FETCHES_IF_NEVER_LISTED = 10;

  private final MembershipSettings settings;
  private final TimeSource time;
  private final Map<String, Entry> entries = new TreeMap<>();
  private long lastTickNanos;

  static final class Entry {
    private Member member;
    private long lastHeartbeatNanos;
    private int absentFetches;
    private boolean wasListed;
    private @Nullable Heartbeat lastHeartbeat;

    private Entry(Member member, long lastHeartbeatNanos) {
      this.member = member;
      this.lastHeartbeatNanos = lastHeartbeatNanos;
    }

    Member member() {
      return member;
    }

    @Nullable Heartbeat lastHeartbeat() {
      return lastHeartbeat;
    }
  }

  MemberTable(MembershipSettings settings, TimeSource time) {
    this.settings = settings;
    this.time = time;
    this.lastTickNanos = time.nanos();
  }

  /**
   * Restores members from another relay's view. Each counts as silent only after a full timeout.
   */
  void restore(List<Member> members) {
    for (Member member : members) {
      entries.put(member.vm(), new Entry(member, time.nanos()));
    }
  }

  /** Restores a VM that an earlier relay found silent, so that its end can be detected. */
  void restoreSilent(String vm, long incarnation) {
    if (entries.containsKey(vm)) {
      return;
    }
    Member member = new Member(vm, "", incarnation, "", 0, 0, false);
    entries.put(vm, new Entry(member, time.nanos() - 2 * settings.takeOverTimeout().toNanos()));
  }

  /** Applies a heartbeat; returns false if a later incarnation of the same VM is already known. */
  boolean onHeartbeat(Heartbeat heartbeat) {
    Member sender = heartbeat.sender();
    Entry entry = entries.get(sender.vm());
    if (entry != null && entry.member.incarnation() > sender.incarnation()) {
      return false;
    }
    if (entry == null || entry.member.incarnation() < sender.incarnation()) {
      entry = new Entry(sender, time.nanos());
      entries.put(sender.vm(), entry);
    }
    entry.member = entry.member.isDraining() ? asDraining(sender) : sender;
    entry.lastHeartbeatNanos = time.nanos();
    entry.lastHeartbeat = heartbeat;
    return true;
  }

  /**
   * Counts consecutive fetches of the platform's list from which a VM is missing.
   *
   * <p>The list lags. So a missing VM that still sends heartbeats stays a member, and one fetch
   * without it proves nothing.
   */
  void onPlatformList(List<ListedVm> listings) {
    Set<String> names = new HashSet<>();
    for (ListedVm listing : listings) {
      if (listing.role() != VmRole.ENTRY) {
        continue;
      }
      names.add(listing.id());
      Entry entry = entries.get(listing.id());
      if (entry != null
          && listing.leaving()
          && listing.incarnation() == entry.member.incarnation()) {
        entry.member = asDraining(entry.member);
      }
    }
    for (Entry entry : entries.values()) {
      boolean isPresent = names.contains(entry.member.vm());
      entry.wasListed |= isPresent;
      entry.absentFetches = isPresent ? 0 : entry.absentFetches + 1;
    }
  }

  /**
   * Compensates for a pause of this relay itself: members are not silent merely because the relay
   * received nothing while it was paused.
   */
  void tick() {
    long now = time.nanos();
    long gap = now - lastTickNanos;
    if (gap > settings.maxPause().toNanos()) {
      for (Entry entry : entries.values()) {
        entry.lastHeartbeatNanos += gap;
      }
    }
    lastTickNanos = now;
  }

  /** Members whose last heartbeat is recent, ordered by name. */
  List<Member> liveMembers() {
    List<Member> live = new ArrayList<>();
    for (Entry entry : entries.values()) {
      if (isLive(entry)) {
        live.add(entry.member);
      }
    }
    return live;
  }

  /** Names of members that may hold targets. */
  List<String> eligibleVms() {
    return liveMembers().stream().filter(member -> !member.isDraining()).map(Member::vm).toList();
  }

  boolean isLive(String vm, long incarnation) {
    Entry entry = entries.get(vm);
    return entry != null && entry.member.incarnation() == incarnation && isLive(entry);
  }

  /**
   * Whether that incarnation is known to have ended: a later one has sent a heartbeat, or the
   * platform no longer lists it and it is silent.
   */
  boolean isKnownEnded(String vm, long incarnation) {
    Entry entry = entries.get(vm);
    if (entry == null) {
      return false;
    }
    boolean isReplaced = entry.member.incarnation() > incarnation;
    // The list lags, so a VM that has never been listed may not have been added yet.
    int minAbsentFetches =
        entry.wasListed ? MIN_ABSENT_FETCHES : MIN_ABSENT_FETCHES_IF_NEVER_LISTED;
    boolean isRemoved = entry.absentFetches >= minAbsentFetches && !isLive(entry);
    return isReplaced || isRemoved;
  }

  @Nullable Entry entry(String vm) {
    return entries.get(vm);
  }

  List<Entry> liveEntries() {
    return entries.values().stream().filter(this::isLive).toList();
  }

  /**
   * Fraction of the members not known to have ended that are live, this VM included; 1 in a zone of
   * one VM.
   */
  double liveFraction() {
    int known = 0;
    int live = 0;
    for (Entry entry : entries.values()) {
      if (isKnownEnded(entry.member.vm(), entry.member.incarnation())) {
        continue;
      }
      known++;
      if (isLive(entry)) {
        live++;
      }
    }
    return known == 0 ? 1 : (double) live / known;
  }

  private boolean isLive(Entry entry) {
    return time.nanos() - entry.lastHeartbeatNanos <= settings.takeOverTimeout().toNanos();
  }

  private static Member asDraining(Member member) {
    return new Member(
        member.vm(),
        member.zone(),
        member.incarnation(),
        member.host(),
        member.port(),
        member.innerPort(),
        true);
  }
}
