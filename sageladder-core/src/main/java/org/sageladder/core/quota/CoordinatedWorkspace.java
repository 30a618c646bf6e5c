package org.sageladder.core.quota;

/** A workspace whose coordinator is this VM, and the notices it sends. */
final class CoordinatedWorkspace {
  final QuotaCoordinator coordinator;
  long nextNoticeMillis = Long.MIN_VALUE;
  boolean noticeSent;

  CoordinatedWorkspace(QuotaCoordinator coordinator) {
    this.coordinator = coordinator;
  }
}
