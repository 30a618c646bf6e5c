package org.sageladder.client;

import java.util.List;

/**
 * The result of a look-up: which entry VMs serve a request.
 *
 * @param revision revision of the contract that the look-up was answered from
 * @param ttlMillis how long the route may be cached
 * @param entries entry VMs to use, preferred one first
 * @param permit a permit for one request, empty if the service's requests may repeat
 */
record Route(long revision, long ttlMillis, List<EntryAddress> entries, String permit) {
  Route {
    entries = List.copyOf(entries);
  }

  boolean needsPermit() {
    return !permit.isEmpty();
  }
}
