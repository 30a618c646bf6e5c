package org.sageladder.forward;

import com.dynatrace.hash4j.hashing.Hashing;
import io.netty.handler.codec.http.HttpRequest;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.routing.RouteRule;

/**
 * Identifies a request across attempts, connections, addresses and entry VMs, by what a target runs
 * and for whom.
 *
 * <p>The caller's address is no part of it: callers send a request again from other addresses.
 *
 * @param value what entry VMs compare
 * @param workspace name of the workspace that sent the request, or empty
 * @param targetHash hash of method, host and request target
 * @param bodyHash hash of the body
 */
record RequestFingerprint(long value, String workspace, int targetHash, long bodyHash) {
  /** Returns the fingerprint of the request of a workspace, or of none. */
  static RequestFingerprint of(@Nullable String workspace, HttpRequest head, long bodyHash) {
    String sender = workspace == null ? "" : workspace;
    String target = head.method() + " " + RequestHeadValidator.hostName(head) + head.uri();
    long value =
        Hashing.komihash5_0()
            .hashStream()
            .putString(sender)
            .putString(target)
            .putLong(bodyHash)
            .getAsLong();
    return new RequestFingerprint(value, sender, target.hashCode(), bodyHash);
  }

  /** Hash of the object that a request concerns, for requests on the same route. */
  static long objectHash(RouteRule route, String object) {
    return Hashing.komihash5_0().hashCharsToLong(route.host() + route.prefix() + '\n' + object);
  }

  /** The fingerprint and its parts, so that a log shows in which part two requests differ. */
  String describe() {
    return Long.toHexString(value)
        + " of target "
        + Integer.toHexString(targetHash)
        + ", body "
        + Long.toHexString(bodyHash)
        + (workspace.isEmpty() ? "" : ", workspace " + workspace);
  }
}
