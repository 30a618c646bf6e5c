package org.sageladder.entry.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.apache.hc.core5.http.nio.AsyncPushProducer;
import org.apache.hc.core5.http.nio.ResponseChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/** Guards against exchanges that count as memory in use after they have ended. */
class ExchangeMemoryTest {
  private static final ForwardedEntity RESPONSE = new ForwardedEntity(10_000, "text/plain", null);

  private final ExchangeMemory memory = ExchangeMemory.ofHeap();
  private final CallerExchange exchange =
      CallerExchange.create(unused -> {}, InFlightCounter.create(), memory);

  /** Drops what is sent. */
  private static final class IgnoringChannel implements ResponseChannel {
    @Override
    public void sendInformation(HttpResponse response, HttpContext context) {}

    @Override
    public void sendResponse(
        HttpResponse response, @Nullable EntityDetails entity, HttpContext context) {}

    @Override
    public void pushPromise(HttpRequest promise, AsyncPushProducer producer, HttpContext context) {}
  }

  private void receiveRequest() throws IOException {
    exchange.handleRequest(
        new BasicHttpRequest("GET", "/"), null, new IgnoringChannel(), HttpCoreContext.create());
  }

  private void respond() {
    exchange.respond(new BasicHttpResponse(200), RESPONSE, BodyPipe.of(new byte[10_000]));
  }

  @Test
  void nothingIsCountedAfterTheEnd() throws IOException {
    receiveRequest();
    respond();
    assertTrue(memory.bytes() > 10_000);
    exchange.releaseResources();
    assertEquals(0, memory.bytes());
  }

  @Test
  void responseAfterTheEndIsNotCounted() throws IOException {
    receiveRequest();
    exchange.failed(new IOException("the caller has disconnected"));
    respond();
    assertEquals(0, memory.bytes());
    assertFalse(memory.isExhausted());
  }
}
