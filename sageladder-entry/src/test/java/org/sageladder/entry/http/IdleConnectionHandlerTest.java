package org.sageladder.entry.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import org.apache.hc.core5.http.EndpointDetails;
import org.apache.hc.core5.http.HttpConnection;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;
import org.junit.jupiter.api.Test;

/** Tests which connections count as idle. */
class IdleConnectionHandlerTest {
  private static final Timeout LONG_TIMEOUT = Timeout.ofMinutes(10);
  private static final Timeout ZERO_TIMEOUT = Timeout.ZERO_MILLISECONDS;

  private final List<String> closed = new ArrayList<>();
  private long requestCount;
  private long responseCount;

  // A request waited minutes for a slot. The connection counts its response as sent before the
  // first byte is written. If the check for idle connections runs at that moment, it finds neither
  // recent traffic nor a pending request and must not close the connection.
  @Test
  void connectionIsNotClosedBeforeItsResponseIsWritten() throws IOException {
    IOEventHandler idleHandler =
        IdleConnectionHandler.decorate((session, attachment) -> (IOEventHandler) connection())
            .createHandler(null, null);
    requestCount = 1;
    responseCount = 1;
    idleHandler.timeout(session(), ZERO_TIMEOUT);
    assertEquals(List.of(), closed, "response sent since the last check");
    requestCount = 2;
    idleHandler.timeout(session(), ZERO_TIMEOUT);
    assertEquals(List.of(), closed, "request pending");
    responseCount = 2;
    idleHandler.timeout(session(), ZERO_TIMEOUT);
    assertEquals(List.of(), closed, "response sent since the last check");
    idleHandler.timeout(session(), LONG_TIMEOUT);
    assertEquals(List.of(), closed, "not idle for long enough");
    idleHandler.timeout(session(), ZERO_TIMEOUT);
    assertEquals(List.of("GRACEFUL"), closed);
  }

  private IOSession session() {
    return (IOSession)
        Proxy.newProxyInstance(
            getClass().getClassLoader(),
            new Class<?>[] {IOSession.class},
            (proxy, method, arguments) -> {
              closed.add(String.valueOf(arguments[0]));
              return null;
            });
  }

  private Object connection() {
    return Proxy.newProxyInstance(
        getClass().getClassLoader(),
        new Class<?>[] {IOEventHandler.class, HttpConnection.class},
        (proxy, method, arguments) -> new FakeEndpointDetails());
  }

  private final class FakeEndpointDetails extends EndpointDetails {
    FakeEndpointDetails() {
      super(null, null, null);
    }

    @Override
    public long getRequestCount() {
      return requestCount;
    }

    @Override
    public long getResponseCount() {
      return responseCount;
    }

    @Override
    public long getSentBytesCount() {
      return 0;
    }

    @Override
    public long getReceivedBytesCount() {
      return 0;
    }
  }
}
