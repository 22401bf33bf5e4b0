/// @file
/// What other tests take for granted of the scripted server.

#include "net_fixture.h"
#include "scripted_server.h"

#include <criterion/criterion.h>

using namespace camphornotch;

// Guards against a connection meant for a stopped server that reaches a server
// of another process, which was given the port.
Test(scriptedServer, stoppedServer_keepsItsPortAndRefusesConnections) {
  ScriptedServer Server;
  sockaddr_in Address = {};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Address.sin_port = htons(Server.target().Port);
  const auto *Any = reinterpret_cast<const sockaddr *>(&Address);
  Server.stopListening();
  const int Other = socket(AF_INET, SOCK_STREAM, 0);
  cr_expect_neq(bind(Other, Any, sizeof(Address)), 0);
  cr_expect_eq(errno, EADDRINUSE);
  const int Client = socket(AF_INET, SOCK_STREAM, 0);
  cr_expect_neq(connect(Client, Any, sizeof(Address)), 0);
  cr_expect_eq(errno, ECONNREFUSED);
  close(Other);
  close(Client);
}
