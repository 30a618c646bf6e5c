package org.sageladder.bench.targetrate;

import java.util.List;
import org.sageladder.core.placing.ColdTargetLimiter.EntryVmLocation;

/** Decides in one entry VM whether a request may be sent to a target that states a request rate. */
interface SendPolicy {
  /** An answer states the rate, or none if {@code requestsPerSecond} is infinite. */
  void onAnswer(double requestsPerSecond, long now);

  /** The list of live entry VMs changes. */
  void onLiveVms(List<EntryVmLocation> live, long now);

  /** Takes a request if it may be sent now. */
  boolean trySend(long now);
}
