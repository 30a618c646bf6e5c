package org.sageladder.platform.store;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import org.sageladder.core.platform.ListedVm;
import org.sageladder.core.platform.VmList;
import org.sageladder.core.store.StoreException;

/**
 * Client of the platform's list of VMs, over HTTP and JSON; every failure is reported as an outage.
 */
public final class HttpVmList implements VmList, AutoCloseable {
  private final JsonHttpClient client;

  private HttpVmList(JsonHttpClient client) {
    this.client = client;
  }

  /**
   * Creates a client of the list at {@code base}, such as {@code http://127.0.0.1:4100}; nothing is
   * sent yet.
   */
  public static HttpVmList connect(URI base, Duration timeout) {
    return new HttpVmList(JsonHttpClient.connect(base, timeout));
  }

  @Override
  public List<ListedVm> fetch() throws StoreException {
    JsonHttpClient.Response response = client.read(StoreMessages.VMS, Duration.ZERO);
    if (response.status() != 200) {
      throw new StoreException.Unavailable("the list of VMs: status " + response.status(), null);
    }
    return response.read(StoreMessages.Vms.class).vms();
  }

  @Override
  public void close() {
    client.close();
  }
}
