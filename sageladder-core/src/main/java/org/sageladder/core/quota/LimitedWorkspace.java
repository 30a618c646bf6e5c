package org.sageladder.core.quota;

import java.util.List;
import org.sageladder.core.routing.Workspace;

/**
 * A workspace with a quota in a VM that admits its requests, and the coordinators it reports to.
 */
final class LimitedWorkspace {
  final Workspace workspace;
  final WorkspaceRateLimiter limiter;
  List<String> coordinatorOrder = List.of();
  int coordinatorIndex;
  int failedAttempts;
  long retryFirstCoordinatorMillis;
  String firstCoordinator = "";
  String lastCoordinator = "";
  long firstCoordinatorSinceMillis;

  LimitedWorkspace(Workspace workspace, WorkspaceRateLimiter limiter) {
    this.workspace = workspace;
    this.limiter = limiter;
  }
}
