/// @file
/// Tests of parsing INI text.

#include "base/ini_func.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace camphornotch;

Test(parseIni, comments_are_kept_with_their_entries) {
  const IniFile File = parseIni("f", "[s]\n"
                                     "; before\n"
                                     "a = 1\n"
                                     "b = 2 ; behind\n"
                                     "; lost\n"
                                     "\n"
                                     "c = 3\n");
  cr_assert(File.Errors.empty());
  cr_assert(File.Entries.size() == 3);
  cr_assert(File.Entries[0].Comment == "before");
  cr_assert(File.Entries[0].Line == 3);
  cr_assert(File.Entries[1].Comment == "behind");
  cr_assert(File.Entries[1].Value == "2");
  cr_assert(File.Entries[2].Comment.empty());
}

Test(parseIni, long_comment_does_not_count) {
  const std::string Text = "[s]\na = 1 ; " + std::string(1000, 'x') + "\n";
  const IniFile File = parseIni("f", Text);
  cr_assert(File.Errors.empty());
  cr_assert(File.Entries[0].Comment.size() == 1000);
}

Test(parseIni, malformed_lines_are_reported) {
  const std::string Text =
      "[open\n[" + std::string(60, 's') + "]\nname\n= v\n" + "a:b = c\n" +
      std::string(60, 'n') + " = 1\nx = " + std::string(300, 'v') +
      "\ny = \x01\n";
  const IniFile File = parseIni("f", Text);
  cr_assert(File.Entries.empty());
  cr_assert(File.Errors.size() == 8);
  cr_assert(File.Errors[7].Message.starts_with("f:8: "));
}

Test(parseIni, any_text_gives_entries_or_errors) {
  const bool Holds = rc::check([](const std::string &Text) {
    for (const IniEntry &Entry : parseIni("f", Text).Entries)
      RC_ASSERT(Entry.Line > 0 && !Entry.Name.empty());
  });
  cr_assert(Holds);
}
