package org.sageladder.forward.control;

import org.sageladder.core.placing.TargetFacts;
import org.sageladder.core.quarantine.CrashReport;
import org.sageladder.core.routing.RoutingRules;

/** What one item of the platform's store says. */
public sealed interface ItemContent {
  /** The operator's configuration. */
  record Rules(RoutingRules rules) implements ItemContent {}

  /** A target's entry. */
  record Target(TargetFacts target) implements ItemContent {}

  /** Nothing more is to be sent to the targets of a zone. */
  record ZoneEvacuated(String zone) implements ItemContent {}

  /** An entry VM is live. */
  record Entry(EntryVm vm) implements ItemContent {}

  /** A target has crashed, as another entry VM saw it. */
  record Crash(CrashReport report) implements ItemContent {}

  /** Something that sageladder does not follow. */
  record Other() implements ItemContent {}

  /**
   * An item that cannot be read, or that says what no target, VM or operator says: one of another
   * writer. It names nothing to use.
   *
   * @param kind what the item should have been
   * @param cause what is wrong with it
   */
  record Malformed(Kind kind, String cause) implements ItemContent {}

  /** What an item is by its key. */
  enum Kind {
    /** The operator's configuration. */
    RULES,
    /** A target's entry. */
    TARGET,
    /** An entry VM's entry. */
    ENTRY,
    /** A crash as another entry VM saw it. */
    CRASH,
    /** Anything else. */
    OTHER
  }
}
