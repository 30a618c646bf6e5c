package org.sageladder.platform.contract;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.store.StoredValue;
import org.sageladder.platform.settings.SettingsDocument;
import org.sageladder.platform.settings.SettingsException;
import org.sageladder.platform.settings.SettingsSection;

/**
 * A contract as stored in the platform's store under {@code contracts/<customer>}.
 *
 * @param changeId unique for each change, so that a writer whose response was lost can determine by
 *     reading back whether its own write took effect
 * @param author operator who made the change
 * @param history the latest changes, newest first, this one included; at most {@link
 *     #MAX_HISTORY_LENGTH}
 */
public record StoredContract(
    String changeId, String author, Contract contract, List<Change> history) {
  /** Prefix of the keys of contracts in the store. */
  public static final String KEY_PREFIX = "contracts/";

  /** Maximum number of changes that are stored with the contract. */
  public static final int MAX_HISTORY_LENGTH = 20;

  private static final int MAX_FIELDS = 20;
  private static final Pattern FIELD_PATTERN = Pattern.compile("\\S{1,200}");

  /** Copies the list, so that the stored contract cannot change. */
  public StoredContract {
    history = List.copyOf(history);
  }

  /** A stored contract without history, such as the first one. */
  public StoredContract(String changeId, String author, Contract contract) {
    this(changeId, author, contract, List.of());
  }

  /**
   * One accepted change.
   *
   * @param revision store revision of the change; 0 in a value not yet written
   * @param atMillis wall clock of the operator's machine, milliseconds since the Unix epoch
   * @param fields keys whose values changed; at most the first 20
   */
  public record Change(
      long revision, String changeId, String author, long atMillis, List<String> fields) {
    /** Copies the list and truncates it to the maximum length. */
    public Change {
      fields = List.copyOf(fields.subList(0, Math.min(MAX_FIELDS, fields.size())));
    }

    Change atRevision(long acceptedRevision) {
      return new Change(acceptedRevision, changeId, author, atMillis, fields);
    }
  }

  /** Returns the store key of the customer's contract. */
  public static String keyOf(String customer) {
    return KEY_PREFIX + customer;
  }

  /** Returns true if the change with that id is the current one or is in the history. */
  public boolean includesChange(String id) {
    return changeId.equals(id) || history.stream().anyMatch(change -> change.changeId().equals(id));
  }

  /** Returns the value to store: YAML text in UTF-8. */
  public byte[] toBytes() {
    ObjectNode tree = JsonNodeFactory.instance.objectNode();
    tree.put("changeId", changeId).put("author", author);
    tree.set("contract", ContractFormat.toTree(contract));
    ArrayNode changes = tree.putArray("history");
    for (Change change : history) {
      ObjectNode node =
          changes
              .addObject()
              .put("revision", change.revision())
              .put("changeId", change.changeId())
              .put("author", change.author())
              .put("atMillis", change.atMillis());
      ArrayNode fields = node.putArray("fields");
      change.fields().forEach(fields::add);
    }
    return ContractFormat.toYaml(tree).getBytes(StandardCharsets.UTF_8);
  }

  /**
   * Parses a stored value; the contract gets the revision of the stored value.
   *
   * @throws SettingsException if the value is not a stored contract
   */
  public static StoredContract fromStored(StoredValue stored) throws SettingsException {
    String yaml = new String(stored.value(), StandardCharsets.UTF_8);
    SettingsSection root =
        SettingsDocument.parse(stored.key(), yaml)
            .root("changeId", "author", "contract", "history");
    Contract contract = ContractYaml.read(root.section("contract", ContractYaml.contractKeys()));
    return new StoredContract(
        root.text("changeId"),
        root.text("author"),
        contract.atRevision(stored.revision()),
        readHistory(root, stored.revision()));
  }

  /**
   * Reads the history. The newest change was written before its revision was known, so it gets the
   * revision of the stored value.
   */
  private static List<Change> readHistory(SettingsSection root, long revision)
      throws SettingsException {
    List<Change> history = new ArrayList<>();
    for (SettingsSection section :
        root.sections("history", "revision", "changeId", "author", "atMillis", "fields")) {
      Change change =
          new Change(
              section.longNumber("revision", 0, Long.MAX_VALUE),
              section.text("changeId"),
              section.text("author"),
              section.longNumber("atMillis", 0, Long.MAX_VALUE),
              section.texts("fields", FIELD_PATTERN, "a key"));
      history.add(history.isEmpty() ? change.atRevision(revision) : change);
    }
    return history;
  }
}
