package org.sageladder.entry.control;

import java.util.ArrayList;
import java.util.Base64;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.sageladder.core.permit.KeyRing;
import org.sageladder.entry.settings.EntrySettings;

/**
 * Supplies the keys of the inner protocol: first those of the settings, then those of the store.
 *
 * <p>A VM that starts while the store is down has no key from there and could not request the
 * contract from its peers. Keys from the settings cover this case. All VMs of a customer have the
 * same keys in their settings, so these come first and are used for signing.
 */
public final class InnerKeys implements Supplier<Optional<KeyRing>> {
  private final List<KeyRing.Key> settingsKeys;
  private final Supplier<Optional<KeyRing>> storedRing;

  private InnerKeys(List<KeyRing.Key> settingsKeys, Supplier<Optional<KeyRing>> storedRing) {
    this.settingsKeys = settingsKeys;
    this.storedRing = storedRing;
  }

  /**
   * Combines the keys of {@code settings} with the keys that {@code storedRing} returns at each
   * call.
   */
  public static InnerKeys of(
      List<EntrySettings.InnerKey> settings, Supplier<Optional<KeyRing>> storedRing) {
    List<KeyRing.Key> keys = new ArrayList<>();
    for (EntrySettings.InnerKey key : settings) {
      byte[] secret = Base64.getDecoder().decode(key.secret());
      keys.add(new KeyRing.Key(key.id(), 0, KeyRing.Secret.of(secret)));
    }
    return new InnerKeys(List.copyOf(keys), storedRing);
  }

  @Override
  public Optional<KeyRing> get() {
    List<KeyRing.Key> keys = new ArrayList<>(settingsKeys);
    Set<String> ids = new HashSet<>();
    keys.forEach(key -> ids.add(key.id()));
    for (KeyRing.Key key : storedRing.get().map(KeyRing::keys).orElse(List.of())) {
      if (ids.add(key.id())) {
        keys.add(key);
      }
    }
    return keys.isEmpty() ? Optional.empty() : Optional.of(KeyRing.of(keys));
  }
}
