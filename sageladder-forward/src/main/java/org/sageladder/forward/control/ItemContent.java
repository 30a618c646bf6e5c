package org.sageladder.forward.control;

import org.sageladder.core.placing.TargetFacts;
import org.sageladder.core.quarantine.CrashReport;
import org.sageladder.core.quarantine.RunSuccess;
import org.sageladder.core.routing.RoutingRules;

/** The content of one item of the platform's store. */
public sealed interface ItemContent {
  /** The operator's configuration. */
  record Rules(RoutingRules rules) implements ItemContent {}

  /** A target's entry. */
  record Target(TargetFacts target) implements ItemContent {}

  /** A zone whose targets must not receive requests any more. */
  record ZoneEvacuated(String zone) implements ItemContent {}

  /** A live entry VM. */
  record Entry(EntryVm vm) implements ItemContent {}

  /** A crash of a target that another entry VM has observed. */
  record Crash(CrashReport report) implements ItemContent {}

  /** A run that ended well of a request that crashes count against. */
  record Success(RunSuccess success) implements ItemContent {}

  /** An item that sageladder does not use. */
  record Other() implements ItemContent {}

  /**
   * An item that cannot be parsed or has impossible values, written by some other writer. None of
   * its content is used.
   *
   * @param kind expected kind of the item
   * @param cause what is wrong with it
   */
  record Malformed(Kind kind, String cause) implements ItemContent {}

  /** Kind of an item, determined by its key. */
  enum Kind {
    /** The operator's configuration. */
    RULES,
    /** A target's entry. */
    TARGET,
    /** An entry VM's entry. */
    ENTRY,
    /** A crash that another entry VM has observed. */
    CRASH,
    /** A run that ended well of a request that crashes count against. */
    SUCCESS,
    /** Anything else. */
    OTHER
  }
}
