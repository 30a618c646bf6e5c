package org.sageladder.client;

import java.util.List;

/**
 * The answer to a look-up.
 *
 * @param revision revision of the contract that decided
 * @param ttlMillis how long it may be kept
 * @param entries entry VMs to use, best first
 * @param permit a permit for one request, empty where the service's requests may repeat
 */
record Route(long revision, long ttlMillis, List<EntryAddress> entries, String permit) {
  Route {
    entries = List.copyOf(entries);
  }

  boolean needsPermit() {
    return !permit.isEmpty();
  }
}
