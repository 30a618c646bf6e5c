package org.sageladder.forward;

import io.netty.handler.codec.http.HttpHeaders;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.routing.ApiKeys;
import org.sageladder.core.routing.RouteRule;
import org.sageladder.core.routing.Workspace;

/** Who sends a request, by the API key in its head and the rules in force. */
sealed interface Sender {
  /** The workspace whose key the request bears. */
  record Authenticated(Workspace workspace) implements Sender {}

  /** No key is needed and none is there. */
  record Anonymous() implements Sender {}

  /** A key is missing, doubled, malformed, or held by no workspace. */
  record Unauthenticated() implements Sender {}

  /**
   * Looks the key up. An anonymous route needs none, but a key that is there has to be known on any
   * route: else a key that was taken away would still open some.
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

  /** The workspace, or null where there is none. */
  default @Nullable Workspace workspaceOrNull() {
    return this instanceof Authenticated holder ? holder.workspace() : null;
  }
}
