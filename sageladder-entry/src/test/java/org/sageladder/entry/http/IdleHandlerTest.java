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
class IdleHandlerTest {
  private static final Timeout LONG = Timeout.ofMinutes(10);
  private static final Timeout AT_ONCE = Timeout.ZERO_MILLISECONDS;

  private final List<String> closed = new ArrayList<>();
  private long requests;
  private long answers;

  // A scholar's export waited minutes for a slot. Its answer is handed to the connection, which
  // counts it as given; before its first byte is written the port looks for idle connections, finds
  // that nothing has moved for long and nobody waits, and cuts the scholar off.
  @Test
  void anAnswerThatIsAboutToBeWrittenIsNotCutOff() throws IOException {
    IOEventHandler idle =
        IdleHandler.decorate((session, attachment) -> (IOEventHandler) connection())
            .createHandler(null, null);
    requests = 1;
    answers = 1;
    idle.timeout(session(), AT_ONCE);
    assertEquals(List.of(), closed, "answered since the last look");
    requests = 2;
    idle.timeout(session(), AT_ONCE);
    assertEquals(List.of(), closed, "waits");
    answers = 2;
    idle.timeout(session(), AT_ONCE);
    assertEquals(List.of(), closed, "answered since the last look");
    idle.timeout(session(), LONG);
    assertEquals(List.of(), closed, "not idle for long enough");
    idle.timeout(session(), AT_ONCE);
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
        (proxy, method, arguments) -> new Counts());
  }

  private final class Counts extends EndpointDetails {
    Counts() {
      super(null, null, null);
    }

    @Override
    public long getRequestCount() {
      return requests;
    }

    @Override
    public long getResponseCount() {
      return answers;
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
