package org.sageladder.forward;

import io.netty.handler.codec.http.HttpHeaders;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.routing.ApiKeys;
import org.sageladder.core.routing.RouteRule;
import org.sageladder.core.routing.Workspace;

/** The sender of a request, determined by its API key and the rules in force. */
sealed interface Sender {
  /** A workspace, identified by the API key of the request. */
  record Authenticated(Workspace workspace) implements Sender {}

  /** No API key is required and none was sent. */
  record Anonymous() implements Sender {}

  /** The API key is missing, repeated, malformed or belongs to no workspace. */
  record Unauthenticated() implements Sender {}

  /**
   * Looks up the sender. An anonymous route requires no API key, but a key that is sent must be
   * valid on any route; otherwise a revoked key would still work on some.
   */
  static Sender of(HttpHeaders head, Dialect dialect, RouteRule route, ApiKeys keys) {
    if (!keys.areRequired() || (route.anonymous() && !dialect.hasApiKey(head))) {
      return new Anonymous();
    }
    String key = dialect.apiKey(head);
    return key == null
        ? new Unauthenticated()
        : keys.workspaceOf(key).<Sender>map(Authenticated::new).orElseGet(Unauthenticated::new);
  }

  /** The workspace, or null if there is none. */
  default @Nullable Workspace workspaceOrNull() {
    return this instanceof Authenticated authenticated ? authenticated.workspace() : null;
  }
}
