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

/** Which connections count as idle. */
class IdleConnectionHandlerTest {
  private static final Timeout LONG_TIMEOUT = Timeout.ofMinutes(10);
  private static final Timeout ZERO_TIMEOUT = Timeout.ZERO_MILLISECONDS;

  private final List<String> closed = new ArrayList<>();
  private long requestCount;
  private long responseCount;

  // A scholar's export waited minutes for a slot. Its answer is handed to the connection, which
  // counts it as given; before its first byte is written the port looks for idle connections, finds
  // that nothing has moved for long and nobody waits, and cuts the scholar off.
  @Test
  void connectionIsNotClosedBeforeItsResponseIsWritten() throws IOException {
    IOEventHandler idleHandler =
        IdleConnectionHandler.decorate((session, attachment) -> (IOEventHandler) connection())
            .createHandler(null, null);
    requestCount = 1;
    responseCount = 1;
    idleHandler.timeout(session(), ZERO_TIMEOUT);
    assertEquals(List.of(), closed, "answered since the last look");
    requestCount = 2;
    idleHandler.timeout(session(), ZERO_TIMEOUT);
    assertEquals(List.of(), closed, "waits");
    responseCount = 2;
    idleHandler.timeout(session(), ZERO_TIMEOUT);
    assertEquals(List.of(), closed, "answered since the last look");
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
