import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small reader and writer of JSON for the stand-ins. */
final class Json {
  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  static Object parse(String text) {
    Json json = new Json(text);
    return json.value();
  }

  private char next() {
    while (Character.isWhitespace(text.charAt(at))) {
      at++;
    }
    return text.charAt(at);
  }

  private Object value() {
    char c = next();
    if (c == '{') {
      Map<String, Object> map = new LinkedHashMap<>();
      at++;
      while (next() != '}') {
        String key = string();
        next();
        at++;
        map.put(key, value());
        if (next() == ',') {
          at++;
        }
      }
      at++;
      return map;
    }
    if (c == '[') {
      List<Object> list = new ArrayList<>();
      at++;
      while (next() != ']') {
        list.add(value());
        if (next() == ',') {
          at++;
        }
      }
      at++;
      return list;
    }
    if (c == '"') {
      return string();
    }
    int from = at;
    while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
      at++;
    }
    String word = text.substring(from, at);
    return switch (word) {
      case "true" -> Boolean.TRUE;
      case "false" -> Boolean.FALSE;
      case "null" -> null;
      default -> Double.valueOf(word);
    };
  }

  private String string() {
    next();
    at++;
    StringBuilder out = new StringBuilder();
    while (text.charAt(at) != '"') {
      char c = text.charAt(at++);
      if (c == '\\') {
        c = text.charAt(at++);
        if (c == 'u') {
          c = (char) Integer.parseInt(text.substring(at, at + 4), 16);
          at += 4;
        } else if (c == 'n') {
          c = '\n';
        } else if (c == 't') {
          c = '\t';
        } else if (c == 'r') {
          c = '\r';
        }
      }
      out.append(c);
    }
    at++;
    return out.toString();
  }

  static String quote(String value) {
    StringBuilder out = new StringBuilder("\"");
    for (char c : value.toCharArray()) {
      if (c == '"' || c == '\\') {
        out.append('\\').append(c);
      } else if (c < ' ') {
        out.append(String.format("\\u%04x", (int) c));
      } else {
        out.append(c);
      }
    }
    return out.append('"').toString();
  }
}
