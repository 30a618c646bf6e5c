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

/** Who is alive in a zone, as its relay hears it. Not thread-safe. */
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

    private Entry(Member member, long heardNanos) {
      this.member = member;
      this.lastHeartbeatNanos = heardNanos;
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

  /** Takes members over from another relay's view; each has a full silence before it counts. */
  void restore(List<Member> members) {
    for (Member member : members) {
      entries.put(member.vm(), new Entry(member, time.nanos()));
    }
  }

  /** Notes a VM that an earlier relay found silent, so that its end can be noticed. */
  void restoreSilent(String vm, long incarnation) {
    if (entries.containsKey(vm)) {
      return;
    }
    Member gone = new Member(vm, "", incarnation, "", 0, 0, false);
    entries.put(vm, new Entry(gone, time.nanos() - 2 * settings.takeOverTimeout().toNanos()));
  }

  /** Takes a heartbeat in; false where a later incarnation of the same VM was heard before. */
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
   * Counts fetches of the platform's list in which a VM is missing.
   *
   * <p>The list lags, so a missing VM that is heard stays, and one fetch without it proves nothing.
   */
  void onPlatformList(List<ListedVm> lines) {
    Set<String> names = new HashSet<>();
    for (ListedVm line : lines) {
      if (line.role() != VmRole.ENTRY) {
        continue;
      }
      names.add(line.id());
      Entry entry = entries.get(line.id());
      if (entry != null && line.leaving() && line.incarnation() == entry.member.incarnation()) {
        entry.member = asDraining(entry.member);
      }
    }
    for (Entry entry : entries.values()) {
      boolean present = names.contains(entry.member.vm());
      entry.wasListed |= present;
      entry.absentFetches = present ? 0 : entry.absentFetches + 1;
    }
  }

  /** After a pause of this relay itself, nobody is silent merely because it did not listen. */
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

  /** Members heard lately, ordered by name. */
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

  /** Whether that incarnation has surely ended: a later one was heard, or the platform ended it. */
  boolean isKnownEnded(String vm, long incarnation) {
    Entry entry = entries.get(vm);
    if (entry == null) {
      return false;
    }
    boolean replaced = entry.member.incarnation() > incarnation;
    // The list lags: a VM never seen on it may not have been added yet.
    int enough = entry.wasListed ? MIN_ABSENT_FETCHES : MIN_ABSENT_FETCHES_IF_NEVER_LISTED;
    boolean gone = entry.absentFetches >= enough && !isLive(entry);
    return replaced || gone;
  }

  @Nullable Entry entry(String vm) {
    return entries.get(vm);
  }

  List<Entry> liveEntries() {
    return entries.values().stream().filter(this::isLive).toList();
  }

  /** Fraction of members not surely ended that are live, this VM included; 1 for a zone of one. */
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
